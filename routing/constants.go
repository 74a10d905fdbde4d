package routing

import "time"

// The tuned constants. docs/tuning.md gives the unit, the meaning and the reason of each.
const (
	tickInterval = 5 * time.Millisecond  // between two dispatches of queued requests
	answerMargin = 15 * time.Millisecond // least time between a final answer and the deadline
	minLatency   = 50 * time.Millisecond // least latency to expect, also before any answer

	positionMargin  = time.Millisecond       // positions are given in whole milliseconds
	paceRetention   = 3 * time.Second        // for so long, a position predicts that its member keeps pace
	maxListDelay    = 5 * time.Second        // an endpoint list names a new primary at most this late
	memberRetention = time.Minute            // a removed member is forgotten after this time
	searchBackoff   = 500 * time.Millisecond // after a round of the search that found no primary
	retryBackoff    = time.Second            // before a failed call to discovery is repeated

	clockTolerance = 20 * time.Millisecond  // reports of one clock may differ by this much
	startTolerance = 250 * time.Millisecond // the same for start times, where reports may be old
	clockReports   = 3                      // last reports of a primary, whose median gives its clock
	leadRetention  = 5 * time.Second        // a clock lead that no report confirms holds for so long

	commitRetention, maxCommits = 10 * time.Second, 20000 // beyond these a commit goes into its group's floor

	faultScore, transientFaultScore = 3, 1.5                 // in latency objectives: failures; lone ones
	outlierThreshold, scoreMargin   = 1, 0.1                 // least of an outlier; least difference
	scoreRetention                  = 10                     // seconds after which a score no longer counts
	minSilence                      = 150 * time.Millisecond // a shorter silence of a member proves nothing

	probeAnswerWait = 25 * time.Millisecond  // how long a read waits for a probe: above a round trip
	probeTimeout    = 300 * time.Millisecond // after this an unanswered probe counts as lost
	reprobeAfter    = 60 * time.Millisecond  // an earlier report would hardly be newer

	maxProbesPerRead, probeCostFraction, probeBudgetCap = 2, 0.016, 10 // per read; of the result; burst
	retryBudgetRatio, retryBudgetCap, minRetryCost      = 0.1, 50, 0.1 // per request; burst of all; cost

	initialLimit, limitIncrease, limitDecrease  = 3, 0.1, 0.5    // of a member's in-flight limit
	primaryReadFraction, initialWriteFraction   = 0.9, 0.25      // reads in its limit; writes among requests
	shedDecrease, shedIncrease, maxShedFraction = 0.02, 0.3, 0.8 // fractions of a group's requests
	shedMinRouters                              = 5              // with more routers, limits are too coarse
	initialInTimeFraction                       = 0.3            // of a group's attempts
	initialSamples, maxSamples                  = 10, 2048
	tenantRateSpan                              = 8.0 // seconds over which a tenant's rate is smoothed

	slowStartSafety = 0.8 // used fraction of the overload that a warming member withstands
	writeCost       = 2.0 // least number of tokens that a write takes from the budget of a warming primary
	grantsPerWindow = 4   // a grant is valid for an overload window divided by this
	learningSeconds = 3.0 // observed time after which the rate that warm members served counts in full
	maxBurstWindows = 4.0 // the longest burst window of a slow start budget, in overload windows
	burstFraction   = 0.5 // the usual burst window of a slow start budget, in overload windows
	minUsedFraction = 0.01
	minHistory      = 100 * time.Millisecond
	demandSpan      = 3 * time.Second

	leastCost             = 0.25   // tokens that a request takes at the least
	ordinaryCost          = 2.0    // in requests of mean work; a class that costs more is heavy
	heavyRequestsInMargin = 4.0    // requests of a heavy class that fit into the overload margin
	initialLightRequests  = 50.0   // requests of the lightest class, taken to have come before any
	initialClassRequests  = 0.5    // the same of each class, where the work of a class is not known
	maxRecentRequests     = 1024.0 // beyond these, earlier requests count half
	minWorkAnswers        = 4      // answers that show the work of a class
	workOutlier           = 10     // an answer counts for at most so many times the mean

	minOverloadWindow = time.Second // also where the settings give none

	exploreFraction         = 0.15 // of the draws that are not limited to connected or known members
	connectFailureThreshold = 0.1  // fraction of quick connect failures above which hosts count as full
	maxIdleConns            = 150  // idle connections that all routers together then keep open at a host

	// The number of samples over which each figure is smoothed.
	latencySpan, inTimeSpan, scoreSpan, connectSpan, weightSpan, writeFractionSpan = 8, 8, 16, 16, 32, 64
)
