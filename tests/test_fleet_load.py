"""The index of jobs by endpoint stays correct as jobs are added and removed.

Guards against jobs that stay in the index after their end and keep an engine from new
work.
"""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cranberrywick.routing.load import OWNER_SILENCE_SECONDS, FleetLoad, Job

ENDPOINTS = ("e1", "e2", "e3")
jobs_lists = st.lists(
    st.builds(
        Job,
        st.sampled_from(ENDPOINTS),
        st.integers(0, 9),
        st.just(1.0),
        st.just(0.0),
        st.just(1.0),
        helper=st.booleans(),
    ),
    max_size=4,
)


class LoadMachine(RuleBasedStateMachine):
    """Compares the index with all jobs that were added and not removed.

    Requests start, change and end here while peers send their jobs, become silent and
    return. A job left in the index would exclude an engine from new work for ever.
    """

    def __init__(self):
        super().__init__()
        self.load = FleetLoad()
        self.now = 0.0
        self.own = {}
        self.peers = {}

    @rule(request=st.sampled_from("abc"), jobs=jobs_lists)
    def put(self, request, jobs):
        self.load.put(request, jobs)
        self.own[request] = jobs

    @rule(request=st.sampled_from("abc"))
    def drop(self, request):
        self.load.drop(request)
        self.own.pop(request, None)

    @rule(peer=st.sampled_from("abc"), jobs=jobs_lists)
    def receive(self, peer, jobs):
        self.load.receive(peer, jobs, self.now)
        self.peers[peer] = (self.now, jobs)

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds):
        self.now += seconds
        self.load.evict_silent(self.now)
        self.peers = {
            peer: (received_at, jobs)
            for peer, (received_at, jobs) in self.peers.items()
            if self.now - received_at <= OWNER_SILENCE_SECONDS
        }

    @invariant()
    def index_is_correct(self):
        known = [*self.own.values(), *(jobs for _, jobs in self.peers.values())]
        for endpoint_id in ENDPOINTS:
            expected = Counter(
                job for jobs in known for job in jobs if job.endpoint_id == endpoint_id
            )
            assert Counter(self.load.at(endpoint_id)) == expected


TestLoad = LoadMachine.TestCase
