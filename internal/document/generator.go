package document

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Spec specifies a document by its dimensions, for Generate.
type Spec struct {
	Revision    uint64
	DataCentres []DataCentre
	Deployments []DeploymentSpec
}

// DeploymentSpec specifies the services of one customer.
type DeploymentSpec struct {
	Customer string
	Services []ServiceSpec
}

// ServiceSpec specifies a service by its dimensions. The instances are spread evenly
// over the data centres.
type ServiceSpec struct {
	Name              string
	Instances         int
	LeavesPerInstance int
	Shards            int
	Policy            Policy
	Limits            LeafLimits
}

// Generate builds a document from a spec. Replicas of a shard are in different
// instances, and in different data centres if the dimensions permit.
func Generate(spec Spec) (*Document, error) {
	doc := &Document{Revision: spec.Revision, DataCentres: spec.DataCentres}
	for _, deployment := range spec.Deployments {
		built := Deployment{Customer: deployment.Customer}
		for _, serviceSpec := range deployment.Services {
			service, err := serviceSpec.generate(spec.DataCentres)
			if err != nil {
				return nil, fmt.Errorf("service %q of customer %q: %w", serviceSpec.Name, deployment.Customer, err)
			}
			built.Services = append(built.Services, service)
		}
		doc.Deployments = append(doc.Deployments, built)
	}
	return doc, nil
}

func (s ServiceSpec) generate(dataCentres []DataCentre) (Service, error) {
	if err := s.validate(len(dataCentres)); err != nil {
		return Service{}, err
	}
	service := Service{Name: s.Name, Policy: s.Policy, Leaf: s.Limits}
	for shard := range s.Shards {
		service.Shards = append(service.Shards, s.shardName(shard))
	}
	// Leaves are assigned to the shards round-robin, one data centre after the
	// other, so the replicas of a shard are a multiple of s.Shards leaves apart.
	numLeaves := 0
	for i := range s.Instances {
		dc := dataCentres[i*len(dataCentres)/s.Instances]
		instance := Instance{Name: s.instanceName(i), DataCentre: dc.Name}
		for range s.LeavesPerInstance {
			leaf := Leaf{
				Name:  fmt.Sprintf("%s-%d", instance.Name, len(instance.Leaves)),
				Shard: s.shardName(numLeaves % s.Shards),
			}
			instance.Leaves = append(instance.Leaves, leaf)
			numLeaves++
		}
		service.Instances = append(service.Instances, instance)
	}
	return service, nil
}

func (s ServiceSpec) validate(dataCentres int) error {
	if dataCentres < 1 || s.Instances < 1 || s.LeavesPerInstance < 1 || s.Shards < 1 {
		return fmt.Errorf("needs at least one data centre, instance, leaf and shard")
	}
	if leaves := s.Instances * s.LeavesPerInstance; s.Shards > leaves {
		return fmt.Errorf("%d leaves can't serve %d shards", leaves, s.Shards)
	}
	if s.LeavesPerInstance > s.Shards {
		return fmt.Errorf("an instance with %d leaves would have two replicas of one of the %d shards", s.LeavesPerInstance, s.Shards)
	}
	return nil
}

func (s ServiceSpec) instanceName(i int) string {
	return fmt.Sprintf("%s-%0*d", s.Name, digits(s.Instances), i+1)
}

func (s ServiceSpec) shardName(i int) string {
	return fmt.Sprintf("s%0*d", digits(s.Shards), i)
}

// digits returns the number of digits of n, at least two.
func digits(n int) int { return max(2, len(fmt.Sprint(n))) }

// Encode returns a document as JSON with one leaf per line.
func Encode(doc *Document) ([]byte, error) {
	data, err := json.MarshalIndent(doc, "", "\t")
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	for value := range root.All() {
		joinLines(value)
	}
	return append(root.Pack(), '\n'), nil
}

// joinLines formats an object or array on one line if it contains only literals.
func joinLines(value *hujson.Value) {
	for child := range value.All() {
		if _, plain := child.Value.(hujson.Literal); !plain && child != value {
			return
		}
	}
	switch v := value.Value.(type) {
	case *hujson.Object:
		for i := range v.Members {
			v.Members[i].Name.BeforeExtra = separator(i)
		}
		v.AfterExtra = nil
	case *hujson.Array:
		for i := range v.Elements {
			v.Elements[i].BeforeExtra = separator(i)
		}
		v.AfterExtra = nil
	}
}

// separator returns the whitespace before the element at index i of a line.
func separator(i int) hujson.Extra {
	return hujson.Extra(strings.Repeat(" ", min(i, 1)))
}

// FleetSpec returns the spec of the fleet size that the product is designed for:
// 4,700 leaves in 5 data centres of 2 regions.
func FleetSpec() Spec {
	limits := LeafLimits{Slots: 2, Connections: 25}
	return Spec{
		Revision: 1,
		DataCentres: []DataCentre{
			{Name: "north-1", Region: "north"},
			{Name: "north-2", Region: "north"},
			{Name: "north-3", Region: "north"},
			{Name: "south-1", Region: "south"},
			{Name: "south-2", Region: "south"},
		},
		Deployments: []DeploymentSpec{
			{Customer: "first", Services: []ServiceSpec{
				{Name: "search", Instances: 490, LeavesPerInstance: 5, Shards: 490, Limits: limits},
			}},
			{Customer: "second", Services: []ServiceSpec{
				{Name: "archive", Instances: 450, LeavesPerInstance: 5, Shards: 450, Limits: limits},
			}},
		},
	}
}
