package rollout

// defect is a fault that tests switch on to check that the simulation's checks detect it.
type defect string

const (
	defectNone                defect = ""
	defectIgnoresFailures     defect = "ignores failures"
	defectNoFencing           defect = "no fencing"
	defectMapOrder            defect = "map order"
	defectTrustsOwnReport     defect = "trusts own report"
	defectForgetsRevoked      defect = "forgets revoked units"
	defectQuarantineUnbounded defect = "quarantine without budget"
)

// plantedDefect is the defect that is switched on. It is always defectNone outside tests.
var plantedDefect = defectNone
