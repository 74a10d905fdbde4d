package settings

// document is the part of the settings that is used; unknown keys are ignored. The keys are the operators'.
type document struct {
	Balancers         int                `json:"balancers"`
	Index             int                `json:"index"`
	Discovery         string             `json:"discovery"`
	Domain            domainSection      `json:"domain"`
	Deductions        map[string]float64 `json:"deductions"`
	Goal              goalSection        `json:"goal"`
	Rules             rulesSection       `json:"obligations"`
	Period            float64            `json:"period_ms"`
	Limits            limitsSection      `json:"policy_limits"`
	OverQuotaFraction float64            `json:"over_share_worth"`
	Projects          []projectSection   `json:"projects"`
	Report            reportSection      `json:"report"`
	Classes           []classSection     `json:"request_classes"`
}

// domainSection is about positions and roles of hosts. Its lists have an entry for each request class.
type domainSection struct {
	CatchUpWait     float64   `json:"catch_up_wait_ms"`
	ClassRead       []string  `json:"class_read"`
	OriginTime      float64   `json:"origin_time_ms"`
	RoleInList      string    `json:"role_in_list"`
	StalenessBounds []float64 `json:"staleness_bound_ms"`
	TokenMode       string    `json:"token_mode"`
	WhenBehind      string    `json:"when_behind"`
}

// goalSection is the weight of the parts of the result.
type goalSection struct {
	Total      float64 `json:"whole"`
	WorstClass float64 `json:"worst_class"`
}

// rulesSection is what the operators require beside hosts that start or drain.
type rulesSection struct {
	InitialCapacity float64 `json:"cold_from"`
	WarmUpTime      float64 `json:"ramp_time_ms"`
	OnlyDrainBinds  bool    `json:"drain_binds_alone"`
	OverloadFactor  float64 `json:"overload_factor"`
	OverloadWindow  float64 `json:"fall_ms"`
}

// limitsSection is what a router may do.
type limitsSection struct {
	MaxRetryAfter   float64 `json:"max_retry_after_ms"`
	CancelAllowed   bool    `json:"may_cancel"`
	ConnIdleTimeout float64 `json:"conn_idle_ms"`
	ConnectTimeout  float64 `json:"connect_timeout_ms"`
	MaxAttempts     int     `json:"most_tries"`
	ProbesAllowed   bool    `json:"probes"`
	GivesRetryAfter bool    `json:"retry_after"`
}

// projectSection is one tenant.
type projectSection struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

// reportSection says what hosts report of themselves, and how.
type reportSection struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

// classSection is one request class.
type classSection struct {
	LatencyObjective float64 `json:"aim_ms"`
	Deadline         float64 `json:"deadline_ms"`
	Effect           string  `json:"effect"`
	Group            string  `json:"group"`
	LateFraction     float64 `json:"late_share"`
	Name             string  `json:"name"`
	Window           float64 `json:"window_ms"`
	PriorityWeight   float64 `json:"worth"`
}
