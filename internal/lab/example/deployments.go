package example

// kerala is the deployment of Malabar Shoreline Services.
var kerala = Deployment{
	Name: "kerala", Team: "shoreline", Port: 12000, RegionDelay: 35, LongDeadline: "20s",
	Regions: []Region{
		{"south", []string{"kovalam", "kollam"}},
		{"centre", []string{"kochi", "alappuzha"}},
		{"north", []string{"kozhikode", "kannur"}},
	},
	Services: []Service{
		{Name: "rota", Slots: 7, Hedge: true, Work: "20ms", Routes: []string{
			"{path: /roster, methods: [GET], safe: true}",
		}},
		{Name: "swaps", Slots: 5, Work: "25ms", Routes: []string{
			"{path: /claims, methods: [POST], once: true}",
			"{path: /offers, methods: [GET], safe: true}",
		}},
		{Name: "handover", Slots: 3, Work: "30ms", Routes: []string{
			"{path: /handovers, methods: [POST], once: true}",
			"{path: /ledger, methods: [GET], safe: true}",
		}},
		{Name: "history", Slots: 7, Long: true, Work: "100ms", Routes: []string{
			"{path: /months, methods: [GET], class: long}",
			"{path: /days, methods: [GET], safe: true}",
		}},
	},
	Shifts: []Shift{{"guards", 160}, {"supervisors", 80}, {"officers", 40}},
}

// cascadia is the deployment of Cascadia Basin Industrial Discharge Authority.
var cascadia = Deployment{
	Name: "cascadia", Team: "discharge", Port: 14000, RegionDelay: 55, LongDeadline: "30s",
	Regions: []Region{
		{"columbia", []string{"portland", "vancouver"}},
		{"sound", []string{"seattle", "tacoma"}},
		{"inland", []string{"spokane", "yakima"}},
	},
	Services: []Service{
		{Name: "limits", Slots: 3, Hedge: true, Work: "20ms", Routes: []string{
			"{path: /outfalls, methods: [GET], safe: true}",
		}},
		{Name: "samples", Slots: 3, Work: "30ms", Routes: []string{
			"{path: /results, methods: [POST], once: true}",
			"{path: /results, methods: [GET], safe: true}",
		}},
		{Name: "billing", Slots: 3, Work: "30ms", Routes: []string{
			"{path: /invoices, methods: [POST], once: true}",
			"{path: /surcharges, methods: [GET], safe: true}",
		}},
		{Name: "archive", Slots: 3, Long: true, Work: "200ms", Routes: []string{
			"{path: /exports, methods: [GET], class: long}",
			"{path: /readings, methods: [GET], safe: true}",
		}},
	},
	Shifts: []Shift{{"inspectors", 80}, {"holders", 60}, {"operators", 40}},
}
