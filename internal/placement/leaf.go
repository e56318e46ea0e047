package placement

// maxShares is the maximum number of shares of a leaf that is routed through
// holders.
const maxShares = 2

// Share is a fixed part of a leaf's slots and connections. Only its owner uses it,
// or only its deputy while the deputy has taken it over.
type Share struct {
	Owner string
	// Deputy is the host that may take over the share, or empty if there is none.
	Deputy string
	Slots  int
	// Connections is the number of connections that one process of the owner may
	// open. The same number is reserved for connections of its predecessor that
	// the leaf still counts.
	Connections int
	// DeputyConnections is the number of connections that one process of the
	// deputy may open, with an equal reserve.
	DeputyConnections int
}

// Leaf is the assignment of one leaf. The order of Shares is significant: the
// share with index 0 carries the permit to call the leaf while it is cold.
type Leaf struct {
	ID string
	// Group is the identifier of the instance; all its leaves have the same owners.
	Group   string
	Service string
	Cell    string
	// Direct is set if hosts have static shares without deputies.
	Direct bool
	// SlotLimit and ConnectionLimit are the limits of the document.
	SlotLimit       int
	ConnectionLimit int
	ColdSlots       int
	Shares          []Share
}

// Hash returns a hash of the leaf's ID that is the same in every process.
func (l Leaf) Hash() uint64 { return hashString(l.ID) }

// ServiceID returns the identifier of a customer's service.
func ServiceID(customer, service string) string {
	return customer + "/" + service
}

// GroupID returns the identifier of the group of an instance's leaves.
func GroupID(customer, service, instance string) string {
	return ServiceID(customer, service) + "/" + instance
}

// LeafID returns the identifier of a leaf, which is unique within a document.
func LeafID(customer, service, instance, leaf string) string {
	return GroupID(customer, service, instance) + "/" + leaf
}

// processesPerHost is the number of processes of a host for which connections are
// reserved: the current one and its predecessor.
const processesPerHost = 2

// deputyDivisor divides the connections of a share to give those of the deputy, reserve
// included.
const deputyDivisor = 3

// shareCount returns the number of shares of a leaf. Every share needs one slot, and
// connections for an owner and a deputy with their reserves.
func shareCount(slots, connections, hosts int) int {
	if slots < 2 || hosts < 2 || connections < maxShares*2*processesPerHost {
		return 1
	}
	return maxShares
}

// connectionAllowance divides the connections of one share between its owner and
// its deputy. Each result is the number that a single process may open.
func connectionAllowance(connections int, hasDeputy bool) (owner, deputy int) {
	if connections < processesPerHost {
		return connections, 0
	}
	if hasDeputy && connections >= 2*processesPerHost {
		deputy = max(1, connections/(deputyDivisor*processesPerHost))
	}
	owner = (connections - deputy*processesPerHost) / processesPerHost
	return owner, deputy
}

// divide returns the size of part i of total divided into n parts whose sizes differ
// by at most one, the larger ones first.
func divide(total, n, i int) int {
	part := total / n
	if i < total%n {
		part++
	}
	return part
}
