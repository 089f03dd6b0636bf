package admission

// entryList is the queued requests of one flow and one priority weight, in the order of their arrival.
type entryList struct {
	priorityWeight float64
	first, last    *entry
}

// reservedPriority is added to the priority weight of requests that came back at their reserved time. It exceeds the
// priority weight of every class.
const reservedPriority = 1e18

// insert adds a request to the list of its priority weight. The lists are in descending order of weight.
func (f *flow) insert(e *entry) {
	weight := e.priorityWeight
	if e.reserved {
		weight += reservedPriority
	}
	i := 0
	for i < len(f.lists) && f.lists[i].priorityWeight > weight {
		i++
	}
	if i == len(f.lists) || f.lists[i].priorityWeight != weight {
		f.lists = append(f.lists, entryList{})
		copy(f.lists[i+1:], f.lists[i:])
		f.lists[i] = entryList{priorityWeight: weight}
	}
	list := &f.lists[i]
	e.prev, e.next = list.last, nil
	if list.last == nil {
		list.first = e
	} else {
		list.last.next = e
	}
	list.last = e
}

// remove removes a request from its list, and removes the list from the flow if the list is then empty.
func (f *flow) remove(e *entry) {
	for i := range f.lists {
		list := &f.lists[i]
		if list.first == e {
			list.first = e.next
		}
		if list.last == e {
			list.last = e.prev
		}
		if list.first == nil {
			f.lists = append(f.lists[:i], f.lists[i+1:]...)
			break
		}
	}
	if e.prev != nil {
		e.prev.next = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}
