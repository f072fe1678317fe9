package wheatspread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The difference between a view and the next view, on which members agree. Both lists are sorted, so that changes
 * detected by different members compare as equal.
 *
 * @param out members that are removed
 * @param in servers that are added
 */
public record ViewChange(List<MemberId> out, List<Member> in) {
    /** Copies both lists, which must be sorted; see {@link #of}. */
    public ViewChange {
        out = List.copyOf(out);
        in = List.copyOf(in);
    }

    /** Returns a change that removes and adds these members, which may be given in any order. */
    public static ViewChange of(Collection<MemberId> out, Collection<Member> in) {
        List<MemberId> removed = new ArrayList<>(out);
        removed.sort(null);
        List<Member> added = new ArrayList<>(in);
        added.sort(Comparator.comparing(Member::id));
        return new ViewChange(removed, added);
    }

    public boolean isEmpty() {
        return out.isEmpty() && in.isEmpty();
    }

    @Override
    public String toString() {
        return "-" + out + " +" + in.stream().map(Member::id).toList();
    }
}
