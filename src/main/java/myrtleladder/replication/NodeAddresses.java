package myrtleladder.replication;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import myrtleladder.protocol.Member;
import myrtleladder.protocol.View;

/** The addresses of control nodes that this node may ask. */
final class NodeAddresses {
    private NodeAddresses() {}

    /** The seeds and the members of a view, if there is one, without this node. */
    static List<String> others(Member self, View view, Set<String> seeds) {
        Set<String> addresses = new LinkedHashSet<>(seeds);
        if (view != null) {
            view.group.forEach(member -> addresses.add(member.address));
        }
        addresses.remove(self.address);
        return new ArrayList<>(addresses);
    }
}
