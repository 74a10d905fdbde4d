package routing

import "time"

// The tuned constants. docs/tuning.md gives the unit, the meaning and the reason of each.
const (
	tickInterval = 5 * time.Millisecond  // pace of queued requests
	answerMargin = 15 * time.Millisecond // a final answer leaves this long before its time, at the latest
	minLatency   = 50 * time.Millisecond // least latency to reckon with, and the one before any was seen

	positionMargin  = time.Millisecond       // positions come in whole milliseconds
	paceRetention   = 3 * time.Second        // for which a position predicts that its member keeps pace
	maxListDelay    = 5 * time.Second        // an endpoint list names a new primary no later
	memberRetention = time.Minute            // a removed member is forgotten after so long
	searchBackoff   = 500 * time.Millisecond // after a round of the search that found no primary
	retryBackoff    = time.Second            // before a failed call to discovery is repeated

	clockTolerance = 20 * time.Millisecond  // by which reports of one clock may differ
	startTolerance = 250 * time.Millisecond // the same where start times are compared, and reports may be old
	clockReports   = 3                      // of a primary, of which the middle one tells its clock
	leadRetention  = 5 * time.Second        // for which a lead holds that no report confirms

	commitRetention, maxCommits = 10 * time.Second, 20000 // then a commit is folded into its group's floor

	faultScore, transientFaultScore = 3, 1.5                 // in latency objectives: failures; lone ones
	outlierThreshold, scoreMargin   = 1, 0.1                 // of an outlier; least difference that counts
	scoreRetention                  = 10                     // seconds after which a score counts no more
	minSilence                      = 150 * time.Millisecond // a shorter silence shows nothing

	probeAnswerWait = 25 * time.Millisecond  // a read waits so long for a probe: above a round trip
	probeTimeout    = 300 * time.Millisecond // a probe unanswered for so long is no longer pending
	reprobeAfter    = 60 * time.Millisecond  // before that a member's report is hardly newer

	maxProbesPerRead, probeCostFraction, probeBudgetCap = 2, 0.016, 10 // for a read; of the result; saved up
	retryBudgetRatio, retryBudgetCap, minRetryCost      = 0.1, 50, 0.1 // earned; saved up by all; price

	initialLimit, limitIncrease, limitDecrease  = 3, 0.1, 0.5    // of a member's requests in flight
	primaryReadFraction, initialWriteFraction   = 0.9, 0.25      // reads in its limit; writes among requests
	shedDecrease, shedIncrease, maxShedFraction = 0.02, 0.3, 0.8 // of a group's requests
	shedMinRouters                              = 5              // up to so many, limits are fine enough
	initialInTimeFraction                       = 0.3            // of a group's attempts
	initialSamples, maxSamples                  = 10, 2048
	tenantRateSpan                              = 8.0 // seconds over which a tenant's requests are counted

	slowStartSafety = 0.8 // part of the overload that a warming member stands which is used
	writeCost       = 2.0 // requests that a write counts for in the budget of a warming primary
	grantsPerWindow = 4   // a grant holds for this part of an overload window
	learningSeconds = 3.0 // that warm members were seen, until what they bore is all that counts
	keptWindows     = 4.0 // for which a budget that makes up no request is kept
	minUsedFraction = 0.01
	minHistory      = 100 * time.Millisecond
	askedSpan       = 3 * time.Second

	minOverloadWindow = time.Second // where the settings give none

	exploreFraction         = 0.15 // of the draws that are not among connected or known members alone
	connectFailureThreshold = 0.1  // fraction of quick failures to connect that shows full hosts
	maxIdleConns            = 150  // that all routers together then keep open at a host

	// The samples that smoothed figures look back.
	latencySpan, inTimeSpan, scoreSpan, connectSpan, weightSpan, writeFractionSpan = 8, 8, 16, 16, 32, 64
)
