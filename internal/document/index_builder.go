package document

// NewIndex builds the index of a document that was returned by Parse.
func NewIndex(doc *Document) *Index {
	numInstances, numLeaves := doc.size()
	b := indexBuilder{
		index: &Index{
			instances:   make([]*InstanceEntry, 0, numInstances),
			leaves:      make([]LeafEntry, 0, numLeaves),
			customers:   make(map[string]map[string]*ServiceEntry, len(doc.Deployments)),
			leafIDs:     make(map[string]LeafID, numLeaves),
			byInstance:  make(map[string]*InstanceEntry, numInstances),
			dataCentres: make(map[string]dataCentreEntry, len(doc.DataCentres)),
			stopped:     stringSet(doc.StoppedHosts),
		},
		leaving: stringSet(doc.LeavingLeaves),
	}
	b.addDataCentres(doc)
	for i := range doc.Deployments {
		b.addDeployment(&doc.Deployments[i])
	}
	return b.index
}

// size counts the instances and leaves of all services.
func (d *Document) size() (instances, leaves int) {
	for _, deployment := range d.Deployments {
		for _, service := range deployment.Services {
			instances += len(service.Instances)
			for _, instance := range service.Instances {
				leaves += len(instance.Leaves)
			}
		}
	}
	return instances, leaves
}

// indexBuilder fills an index in document order.
type indexBuilder struct {
	index   *Index
	leaving map[string]bool
}

func (b *indexBuilder) addDataCentres(doc *Document) {
	takenOut := stringSet(doc.TakenOut)
	for _, dc := range doc.DataCentres {
		b.index.dataCentres[dc.Name] = dataCentreEntry{
			region:   dc.Region,
			takenOut: takenOut[dc.Name],
		}
	}
}

func (b *indexBuilder) addDeployment(deployment *Deployment) {
	services := make(map[string]*ServiceEntry, len(deployment.Services))
	b.index.customers[deployment.Customer] = services
	for i := range deployment.Services {
		entry := b.addService(deployment.Customer, &deployment.Services[i])
		services[entry.Name] = entry
	}
}

func (b *indexBuilder) addService(customer string, service *Service) *ServiceEntry {
	entry := &ServiceEntry{
		Customer: customer,
		Name:     service.Name,
		Policy:   service.Policy,
		Limits:   service.Leaf,
		Shards:   make([]ShardEntry, len(service.Shards)),
	}
	positions := make(map[string]int, len(service.Shards))
	for i, name := range service.Shards {
		entry.Shards[i].Name = name
		positions[name] = i
	}
	b.index.services = append(b.index.services, entry)
	for i := range service.Instances {
		b.addInstance(entry, &service.Instances[i], positions)
	}
	return entry
}

func (b *indexBuilder) addInstance(service *ServiceEntry, instance *Instance, positions map[string]int) {
	dc := b.index.dataCentres[instance.DataCentre]
	entry := &InstanceEntry{
		Name:       instance.Name,
		DataCentre: instance.DataCentre,
		Region:     dc.region,
		TakenOut:   dc.takenOut,
		Service:    service,
	}
	b.index.instances = append(b.index.instances, entry)
	b.index.byInstance[entry.Name] = entry
	service.Instances = append(service.Instances, entry)
	for _, leaf := range instance.Leaves {
		id := b.addLeaf(entry, leaf, positions[leaf.Shard])
		entry.Leaves = append(entry.Leaves, id)
	}
}

func (b *indexBuilder) addLeaf(instance *InstanceEntry, leaf Leaf, shard int) LeafID {
	service := instance.Service
	id := LeafID(len(b.index.leaves))
	b.index.leaves = append(b.index.leaves, LeafEntry{
		ID:       id,
		Name:     leaf.Name,
		Shard:    shard,
		Instance: instance,
		Service:  service,
		Leaving:  b.leaving[leaf.Name],
	})
	b.index.leafIDs[leaf.Name] = id
	service.Leaves = append(service.Leaves, id)
	service.Shards[shard].Replicas = append(service.Shards[shard].Replicas, id)
	return id
}

func stringSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
