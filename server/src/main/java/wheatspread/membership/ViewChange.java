package wheatspread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The difference between a view and the next view, on which members agree. Both lists are sorted, so that changes
 * detected by different members compare as equal.
 *
 * @param removed the identities of the members that are removed
 * @param added the servers that are added
 */
public record ViewChange(List<MemberId> removed, List<Member> added) {
    /** Copies both lists, which must be sorted; see {@link #of}. */
    public ViewChange {
        removed = List.copyOf(removed);
        added = List.copyOf(added);
    }

    /** Returns a change that removes and adds these members, which may be given in any order. */
    public static ViewChange of(Collection<MemberId> removed, Collection<Member> added) {
        List<MemberId> sortedRemoved = new ArrayList<>(removed);
        sortedRemoved.sort(null);
        List<Member> sortedAdded = new ArrayList<>(added);
        sortedAdded.sort(Comparator.comparing(Member::id));
        return new ViewChange(sortedRemoved, sortedAdded);
    }

    public boolean isEmpty() {
        return removed.isEmpty() && added.isEmpty();
    }

    @Override
    public String toString() {
        return "-" + removed + " +" + added.stream().map(Member::id).toList();
    }
}
