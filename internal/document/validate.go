package document

import (
	"regexp"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// Codes of the problems that the validation of a document reports.
const (
	CodeMissing           jsonc.Code = "missing"
	CodeBadName           jsonc.Code = "bad_name"
	CodeBadRevision       jsonc.Code = "bad_revision"
	CodeDuplicateName     jsonc.Code = "duplicate_name"
	CodeUnknownDataCentre jsonc.Code = "unknown_data_centre"
	CodeAllTakenOut       jsonc.Code = "all_taken_out"
	CodeUnknownLeaf       jsonc.Code = "unknown_leaf"
	CodeUnknownShard      jsonc.Code = "unknown_shard"
	CodeShardWithoutLeaf  jsonc.Code = "shard_without_leaf"
	CodeLimitNotShareable jsonc.Code = "limit_not_shareable"
	CodeOutOfRange        jsonc.Code = "out_of_range"
	CodeBadPolicy         jsonc.Code = "bad_policy"
)

// namePattern matches valid logical names. It excludes characters that would need
// escaping in URL paths and headers, where names are used.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// validator validates a decoded document.
type validator struct {
	doc    *Document
	report *jsonc.Report

	dataCentres map[string]bool
	customers   map[string]bool
	// targets maps the names of instances and leaves to their kinds. They share a
	// namespace, because settings map the names of both to URLs.
	targets map[string]targetKind
}

// targetKind is the kind of a target.
type targetKind string

const (
	targetInstance targetKind = "instance"
	targetLeaf     targetKind = "leaf"
)

func newValidator(doc *Document, report *jsonc.Report) *validator {
	return &validator{
		doc:         doc,
		report:      report,
		dataCentres: make(map[string]bool),
		customers:   make(map[string]bool),
		targets:     make(map[string]targetKind),
	}
}

func (v *validator) validate() {
	if v.doc.Revision == 0 {
		v.report.Add(CodeBadRevision, "/revision", "must be at least 1")
	}
	v.validateDataCentres()
	v.validateDeployments()
	v.validateTakenOut()
	v.validateLeavingLeaves()
	v.validateStoppedHosts()
}

func (v *validator) validateDataCentres() {
	const path = jsonc.Path("/data_centres")
	if len(v.doc.DataCentres) == 0 {
		v.report.Add(CodeMissing, path, "at least one data centre is required")
	}
	for i, dc := range v.doc.DataCentres {
		v.checkUnique(v.dataCentres, "data centre", dc.Name, path.Index(i).Key("name"))
		v.checkName("region", dc.Region, path.Index(i).Key("region"))
	}
}

func (v *validator) validateDeployments() {
	const path = jsonc.Path("/deployments")
	if len(v.doc.Deployments) == 0 {
		v.report.Add(CodeMissing, path, "at least one deployment is required")
	}
	for i := range v.doc.Deployments {
		deployment := &v.doc.Deployments[i]
		at := path.Index(i)
		v.checkUnique(v.customers, "customer", deployment.Customer, at.Key("customer"))
		v.validateServices(deployment, at.Key("services"))
	}
}

func (v *validator) validateServices(deployment *Deployment, path jsonc.Path) {
	if len(deployment.Services) == 0 {
		v.report.Add(CodeMissing, path, "customer %q has no service", deployment.Customer)
	}
	names := make(map[string]bool)
	for i := range deployment.Services {
		service := &deployment.Services[i]
		at := path.Index(i)
		v.checkUnique(names, "service", service.Name, at.Key("name"))
		v.validatePolicy(&service.Policy, at.Key("policy"))
		v.validateLimits(service.Leaf, at.Key("leaf"))
		v.validateTopology(service, at)
	}
}

func (v *validator) validateTakenOut() {
	const path = jsonc.Path("/taken_out")
	seen := make(map[string]bool)
	for i, name := range v.doc.TakenOut {
		v.checkUnique(seen, "data centre", name, path.Index(i))
		v.checkDataCentre(name, path.Index(i))
	}
	for _, dc := range v.doc.DataCentres {
		if !seen[dc.Name] {
			return
		}
	}
	if len(v.doc.DataCentres) > 0 {
		v.report.Add(CodeAllTakenOut, path, "all %d data centres are taken out", len(v.doc.DataCentres))
	}
}

func (v *validator) validateLeavingLeaves() {
	const path = jsonc.Path("/leaving_leaves")
	seen := make(map[string]bool)
	for i, name := range v.doc.LeavingLeaves {
		v.checkUnique(seen, "leaf", name, path.Index(i))
		if v.targets[name] != targetLeaf {
			v.report.Add(CodeUnknownLeaf, path.Index(i), "leaf %q is not part of any service", name)
		}
	}
}

func (v *validator) validateStoppedHosts() {
	const path = jsonc.Path("/stopped_hosts")
	seen := make(map[string]bool)
	for i, name := range v.doc.StoppedHosts {
		v.checkUnique(seen, "host", name, path.Index(i))
	}
}

// checkUnique checks the form of a name and that it is not in seen, and adds it.
func (v *validator) checkUnique(seen map[string]bool, what, name string, path jsonc.Path) {
	if !v.checkName(what, name, path) {
		return
	}
	if seen[name] {
		v.report.Add(CodeDuplicateName, path, "%s %q is listed twice", what, name)
	}
	seen[name] = true
}

// checkName reports whether the form of a name is valid.
func (v *validator) checkName(what, name string, path jsonc.Path) bool {
	if name == "" {
		v.report.Add(CodeMissing, path, "%s needs a name", what)
		return false
	}
	if !namePattern.MatchString(name) {
		v.report.Add(CodeBadName, path,
			"%s %q must start with a letter or digit and have at most 128 letters, digits, dots, hyphens and underscores",
			what, name)
		return false
	}
	return true
}

func (v *validator) checkDataCentre(name string, path jsonc.Path) {
	if !v.dataCentres[name] {
		v.report.Add(CodeUnknownDataCentre, path, "data centre %q is not in data_centres", name)
	}
}
