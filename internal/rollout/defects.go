package rollout

// defect is a fault that a test plants to see that its checks find it.
type defect string

const (
	defectNone                defect = ""
	defectIgnoresFailures     defect = "no failures"
	defectNoFencing           defect = "no fencing"
	defectMapOrder            defect = "a map's order"
	defectTrustsOwnReport     defect = "own word"
	defectForgetsRevoked      defect = "half forgotten"
	defectQuarantineUnbounded defect = "shut without budget"
)

// plantedDefect is always defectNone outside tests.
var plantedDefect = defectNone
