// Package status defines the status of a node as operators read it.
package status

// Node is the body of the answer to GET /status.
type Node struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Digest      string `json:"digest"`
	// AcceptedAgeMS is the time since the document came into force, in milliseconds.
	AcceptedAgeMS int64 `json:"accepted_age_ms"`
	// State is "starting", "ready" or "stopping".
	State string `json:"state"`
	// SharesHeld is the number of shares that the node may use now.
	SharesHeld int `json:"shares_held"`
	// Taken lists the hosts whose shares the node uses as their deputy.
	Taken []string `json:"taken"`
	// Leaves counts the leaves that the node holds shares of, by state.
	Leaves map[string]int `json:"leaves"`
	// Members counts the known members of the fleet, by state.
	Members map[string]int `json:"members"`
}
