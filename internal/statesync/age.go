package statesync

import "time"

// Age returns the time since the store is last known to have had nothing newer than the
// catalog, and false before the first answer.
func (w *Watcher) Age() (time.Duration, bool) {
	confirmed := w.confirmed.Load()
	return w.now() - time.Duration(confirmed), confirmed != 0
}

// VerifiedAge returns an upper bound of the time since the store had nothing newer than the
// catalog, and false before the first answer. It counts suspensions of the host, and all delays of
// messages between the store and this node.
func (w *Watcher) VerifiedAge() (time.Duration, bool) {
	verified := w.verified.Load()
	return w.options.BootTime() - time.Duration(verified), verified != 0
}

// verify records that the catalog holds everything that the store had at a boot time.
func (w *Watcher) verify(at time.Duration) {
	if int64(at) > w.verified.Load() {
		w.verified.Store(int64(at))
	}
}

// confirm records that the catalog holds everything that the store had at a time since start.
func (w *Watcher) confirm(at time.Duration) {
	at = max(at, 1)
	if int64(at) > w.confirmed.Load() {
		w.confirmed.Store(int64(at))
	}
}
