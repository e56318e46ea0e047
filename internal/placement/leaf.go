package placement

// maxShares is the number of shares a leaf is divided into at most when it is
// routed through holders.
const maxShares = 2

// Share is a fixed part of a leaf's slots and connections. Its owner alone
// uses it, or its deputy alone while it has been taken over.
type Share struct {
	Owner string
	// Deputy may take the share over; it is empty when there is none.
	Deputy string
	Slots  int
	// Connections is what one process of the owner may open. The same number
	// is reserved for connections of its predecessor that the leaf still counts.
	Connections int
	// DeputyConnections is what one process of the deputy may open, with an
	// equal reserve.
	DeputyConnections int
}

// Leaf is the assignment of one leaf. The order of Shares is fixed: a cold
// leaf's permit belongs to the share with index 0.
type Leaf struct {
	ID string
	// Group names the instance; all its leaves have the same owners.
	Group   string
	Service string
	Cell    string
	// Direct reports a static share per host without deputies.
	Direct bool
	// SlotBound and ConnectionBound are the limits of the document.
	SlotBound       int
	ConnectionBound int
	ColdSlots       int
	Shares          []Share
}

// Hash returns a hash of the leaf's ID that is the same in every process.
func (l Leaf) Hash() uint64 { return hashString(l.ID) }

// ServiceID returns the identifier of a customer's service.
func ServiceID(customer, service string) string {
	return customer + "/" + service
}

// GroupID returns the identifier of an instance's leaves.
func GroupID(customer, service, instance string) string {
	return ServiceID(customer, service) + "/" + instance
}

// LeafID returns the identifier of a leaf that is unique in a document.
func LeafID(customer, service, instance, leaf string) string {
	return GroupID(customer, service, instance) + "/" + leaf
}

// processesPerHost is the number of processes whose connections each allowance
// covers: the current one and its predecessor.
const processesPerHost = 2

// deputyFraction is the inverse of the deputy's part of a share's connections.
const deputyFraction = 3

// shareCount returns into how many shares a leaf is divided. Every share needs
// one slot, and connections for an owner and a deputy with their reserves.
func shareCount(slots, connections, hosts int) int {
	if slots < 2 || hosts < 2 || connections < maxShares*2*processesPerHost {
		return 1
	}
	return maxShares
}

// connectionAllowance divides the connections of one share between its owner
// and its deputy. Each result is what a single process may open.
func connectionAllowance(connections int, hasDeputy bool) (owner, deputy int) {
	if connections < processesPerHost {
		return connections, 0
	}
	if hasDeputy && connections >= 2*processesPerHost {
		deputy = max(1, connections/(deputyFraction*processesPerHost))
	}
	owner = (connections - deputy*processesPerHost) / processesPerHost
	return owner, deputy
}

// divide returns part i of total divided into n parts whose sizes differ by
// one at most, the greater ones first.
func divide(total, n, i int) int {
	part := total / n
	if i < total%n {
		part++
	}
	return part
}
