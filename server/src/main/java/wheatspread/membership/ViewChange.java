package wheatspread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * What leads from one view to the next: who goes and who comes, each in order, so that the same change is
 * equal whoever made it.
 */
public record ViewChange(List<MemberId> out, List<Member> in) {
    public ViewChange {
        out = List.copyOf(out);
        in = List.copyOf(in);
    }

    public static ViewChange of(Collection<MemberId> out, Collection<Member> in) {
        List<MemberId> going = new ArrayList<>(out);
        going.sort(null);
        List<Member> coming = new ArrayList<>(in);
        coming.sort(Comparator.comparing(Member::id));
        return new ViewChange(going, coming);
    }

    public boolean isEmpty() {
        return out.isEmpty() && in.isEmpty();
    }

    @Override
    public String toString() {
        return "-" + out + " +" + in.stream().map(Member::id).toList();
    }
}
