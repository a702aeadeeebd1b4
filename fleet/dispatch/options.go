package dispatch

// Options are the settings of a decider. The zero value turns every option off.
type Options struct {
	// PublishBacklog makes the decider publish the expected wait of new work while there is too little capacity.
	PublishBacklog bool
}
