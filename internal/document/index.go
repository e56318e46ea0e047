package document

// LeafID is the number of a leaf in a document, counted from 0 in document order. It
// is not valid for another document.
type LeafID int32

// NoLeaf is the LeafID that stands for no leaf.
const NoLeaf LeafID = -1

// Index provides lookups in a valid document. It is immutable and safe for concurrent
// use.
type Index struct {
	services    []*ServiceEntry
	instances   []*InstanceEntry
	leaves      []LeafEntry
	customers   map[string]map[string]*ServiceEntry
	leafIDs     map[string]LeafID
	byInstance  map[string]*InstanceEntry
	dataCentres map[string]dataCentreEntry
	stopped     map[string]bool
}

// dataCentreEntry is a data centre of the index.
type dataCentreEntry struct {
	region   string
	takenOut bool
}

// ServiceEntry is a service of the index.
type ServiceEntry struct {
	Customer string
	Name     string
	Policy   Policy
	Limits   LeafLimits
	// Shards holds the shards that a complete answer covers.
	Shards    []ShardEntry
	Instances []*InstanceEntry
	Leaves    []LeafID
}

// ShardEntry is a shard with the leaves that serve it.
type ShardEntry struct {
	Name     string
	Replicas []LeafID
}

// InstanceEntry is an instance of the index.
type InstanceEntry struct {
	Name       string
	DataCentre string
	Region     string
	// TakenOut is set if the instance's data centre is taken out.
	TakenOut bool
	Service  *ServiceEntry
	Leaves   []LeafID
}

// LeafEntry is a leaf of the index.
type LeafEntry struct {
	ID   LeafID
	Name string
	// Shard is the index of the leaf's shard in Service.Shards.
	Shard    int
	Instance *InstanceEntry
	Service  *ServiceEntry
	// Leaving is set if the document lists the leaf as leaving.
	Leaving bool
}

// AcceptsWork reports whether the document permits new work for the leaf: neither is
// the leaf leaving nor its data centre taken out.
func (l *LeafEntry) AcceptsWork() bool {
	return !l.Leaving && !l.Instance.TakenOut
}

// DataCentre returns the name of the leaf's data centre.
func (l *LeafEntry) DataCentre() string { return l.Instance.DataCentre }

// ShardName returns the name of the leaf's shard.
func (l *LeafEntry) ShardName() string { return l.Service.Shards[l.Shard].Name }

// Service returns the service of a customer, or nil if there is none.
func (x *Index) Service(customer, service string) *ServiceEntry {
	return x.customers[customer][service]
}

// HasCustomer reports whether the document has a deployment for the customer.
func (x *Index) HasCustomer(customer string) bool {
	_, found := x.customers[customer]
	return found
}

// Services returns all services in document order. The caller must not modify
// the slice.
func (x *Index) Services() []*ServiceEntry { return x.services }

// Instances returns all instances in document order. The caller must not
// modify the slice.
func (x *Index) Instances() []*InstanceEntry { return x.instances }

// Instance returns the instance with the given name, or nil.
func (x *Index) Instance(name string) *InstanceEntry { return x.byInstance[name] }

// NumLeaves returns the number of leaves. Their IDs are 0 to NumLeaves()-1.
func (x *Index) NumLeaves() int { return len(x.leaves) }

// Leaf returns the leaf with the given ID, or nil if there is none.
func (x *Index) Leaf(id LeafID) *LeafEntry {
	if id < 0 || int(id) >= len(x.leaves) {
		return nil
	}
	return &x.leaves[id]
}

// LeafID returns the ID of the leaf with the given name, or NoLeaf.
func (x *Index) LeafID(name string) LeafID {
	id, found := x.leafIDs[name]
	if !found {
		return NoLeaf
	}
	return id
}

// HasDataCentre reports whether the document lists the data centre.
func (x *Index) HasDataCentre(name string) bool {
	_, found := x.dataCentres[name]
	return found
}

// Region returns the region of a data centre, or "" for an unknown one.
func (x *Index) Region(dataCentre string) string { return x.dataCentres[dataCentre].region }

// TakenOut reports whether a data centre is taken out.
func (x *Index) TakenOut(dataCentre string) bool { return x.dataCentres[dataCentre].takenOut }

// HostStopped reports whether an operator has confirmed that the host's process has
// ended permanently.
func (x *Index) HostStopped(host string) bool { return x.stopped[host] }
