package wheatspread.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Whom this member observes: its subjects of the current view, and joiners that it would observe as members. Failure
 * detectors continue from one view to the next.
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

    /** The subject with this identity; null where it is not observed here. */
    MonitoredSubject get(MemberId id) {
        return subjects.get(id);
    }

    Collection<MonitoredSubject> all() {
        return Collections.unmodifiableCollection(subjects.values());
    }

    /** A copy to iterate over while subjects may come and go. */
    List<MonitoredSubject> snapshot() {
        return List.copyOf(subjects.values());
    }

    /** Passes the number of other observers that suspect a member to its detector, if it is observed here. */
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

    /** Observes a joiner, where this member is one of its prospective observers, so that it can vouch for it. */
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

    /** Observes the subjects of the view that was just entered; none where this member is not in it. */
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
            // first probes are spread over a period, or all members of a new view would probe at once
            long firstProbeMicros = nowMicros + random.nextLong(settings.probePeriodMicros());
            FailureDetector detector = new FailureDetector(settings, health, firstProbeMicros);
            subject = MonitoredSubject.ofMember(member, detector, observerIndex);
        }
        subject.assignAsMember(observerIndex);
        subjects.put(member.id(), subject);
    }
}
