package wheatspread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/** Looks up the names of the observers that report or suspect a member, for operators and departure records. */
final class ObserverReports {
    private final MembershipState state;

    ObserverReports(MembershipState state) {
        this.state = state;
    }

    /** Returns the names of the observers that report a member down. */
    List<String> reporting(int member) {
        CutDetector cutDetector = state.cutDetector();
        return observersWhere(member, observer -> CutDetector.isSet(cutDetector.reportCounter(member, observer)));
    }

    /** Returns the names of the observers that suspect a member. */
    List<String> suspecting(int member) {
        CutDetector cutDetector = state.cutDetector();
        return observersWhere(member, observer -> CutDetector.isSet(cutDetector.suspicionCounter(member, observer)));
    }

    private List<String> observersWhere(int member, IntPredicate condition) {
        View view = state.view();
        int[] observers = view.observersOf(member);
        List<String> names = new ArrayList<>();
        for (int observerIndex = 0; observerIndex < observers.length; observerIndex++) {
            if (condition.test(observerIndex)) {
                names.add(view.members().get(observers[observerIndex]).id().name());
            }
        }
        return names;
    }
}
