package wheatspread.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The subjects that this member observes: those of the current view, and joiners of which it is a prospective observer.
 * Failure detectors are kept from one view to the next.
 */
final class MonitoredSubjects {
    private final MembershipState state;
    private final DetectorSettings settings;
    private final LocalHealth health;
    private final RandomGenerator random;
    private final Map<MemberId, MonitoredSubject> subjects = new LinkedHashMap<>();

    MonitoredSubjects(MembershipState state, DetectorSettings settings, LocalHealth health, RandomGenerator random) {
        this.state = state;
        this.settings = settings;
        this.health = health;
        this.random = random;
    }

    /** Returns the subject with this identity; null if this member does not observe it. */
    MonitoredSubject get(MemberId id) {
        return subjects.get(id);
    }

    /** Returns an unmodifiable view of all subjects; see {@link #snapshot} for iteration during changes. */
    Collection<MonitoredSubject> values() {
        return Collections.unmodifiableCollection(subjects.values());
    }

    /** Returns a copy to iterate over while subjects are added or removed. */
    List<MonitoredSubject> snapshot() {
        return List.copyOf(subjects.values());
    }

    /** Updates a member's detector with the number of other observers that suspect it, if this member observes it. */
    void updateConfirmations(int member) {
        MonitoredSubject subject =
                subjects.get(state.view().members().get(member).id());
        if (subject != null) {
            CutDetector cutDetector = state.cutDetector();
            subject.detector()
                    .updateConfirmations(
                            cutDetector.otherSuspecters(member, subject.observerIndex()),
                            cutDetector.observerCount(member) - 1);
        }
    }

    /** Starts to observe a joiner if this member is one of its prospective observers. */
    void observeJoiner(Member joiner) {
        CutDetector cutDetector = state.cutDetector();
        subjects.values().removeIf(subject -> subject.isJoiner() && !cutDetector.isJoiner(subject.id()));
        int[] observers = cutDetector.observersOfJoiner(joiner.id());
        for (int observerIndex = 0; observerIndex < observers.length; observerIndex++) {
            if (observers[observerIndex] == state.ownIndex()) {
                FailureDetector detector = new FailureDetector(settings, health, 0);
                subjects.put(joiner.id(), MonitoredSubject.ofJoiner(joiner, detector, observerIndex));
            }
        }
    }

    /** Observes the subjects of a newly installed view; none if this server is not in it. */
    void onViewInstalled(long nowMicros) {
        Map<MemberId, MonitoredSubject> previous = new HashMap<>(subjects);
        subjects.clear();
        if (!state.isMember()) {
            return;
        }
        View view = state.view();
        for (int member = 0; member < view.size(); member++) {
            int[] observers = view.observersOf(member);
            for (int observerIndex = 0; observerIndex < observers.length; observerIndex++) {
                if (observers[observerIndex] == state.ownIndex()) {
                    observe(view.members().get(member), observerIndex, previous, nowMicros);
                }
            }
        }
    }

    private void observe(Member member, int observerIndex, Map<MemberId, MonitoredSubject> previous, long nowMicros) {
        MonitoredSubject subject = previous.get(member.id());
        if (subject == null) {
            // first probes are spread over a period, since otherwise all members of a new view would probe at once
            long firstProbeMicros = nowMicros + random.nextLong(settings.probePeriodMicros());
            FailureDetector detector = new FailureDetector(settings, health, firstProbeMicros);
            subject = MonitoredSubject.ofMember(member, detector, observerIndex);
        }
        subject.assignAsMember(observerIndex);
        subjects.put(member.id(), subject);
    }
}
