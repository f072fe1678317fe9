package wheatspread.membership;

import wheatspread.membership.Message.Body;

/** Dispatches each received message to the parts of the protocol that handle it. */
final class MessageDispatcher {
    private final MembershipState state;
    private final GossipDissemination gossip;
    private final StateSynchronizer synchronizer;
    private final ViewExchange viewExchange;
    private final ViewChangeCoordinator viewChanges;
    private final ProbeScheduler probes;
    private final BootstrapProtocol bootstrapProtocol;
    private final ClusterBootstrap bootstrap;
    private final ViewInstaller installer;
    private final MessageSender sender;

    MessageDispatcher(
            MembershipState state,
            GossipDissemination gossip,
            StateSynchronizer synchronizer,
            ViewExchange viewExchange,
            ViewChangeCoordinator viewChanges,
            ProbeScheduler probes,
            BootstrapProtocol bootstrapProtocol,
            ClusterBootstrap bootstrap,
            ViewInstaller installer,
            MessageSender sender) {
        this.state = state;
        this.gossip = gossip;
        this.synchronizer = synchronizer;
        this.viewExchange = viewExchange;
        this.viewChanges = viewChanges;
        this.probes = probes;
        this.bootstrapProtocol = bootstrapProtocol;
        this.bootstrap = bootstrap;
        this.installer = installer;
        this.sender = sender;
    }

    /** Handles a message; replies go to {@code address}. */
    void dispatch(String address, Message message, long nowMicros) {
        recordReachability(message, nowMicros);
        if (!message.view().equals(state.viewId())) {
            viewExchange.onOtherView(address, message, nowMicros);
        } else if (state.isMember()) {
            message.updates().forEach(update -> receiveGossip(update, nowMicros));
            synchronizer.onMessage(address, message, nowMicros);
        }
        message.body().accept(new BodyHandler(address, message, nowMicros));
    }

    private void recordReachability(Message message, long nowMicros) {
        if (state.isMember()) {
            int senderIndex = state.view().indexOf(message.from());
            if (senderIndex >= 0) {
                state.reachability().onMessageFrom(senderIndex, nowMicros);
            }
        } else if (message.quorumReachable()) {
            bootstrap.onReachableQuorum(nowMicros);
            viewExchange.onReachableQuorum(message.view(), nowMicros);
        }
    }

    private void receiveGossip(GossipUpdate update, long nowMicros) {
        if (gossip.receive(update)) {
            viewChanges.onEvidence(nowMicros);
        }
    }

    /** Handles the body of one message. */
    private final class BodyHandler implements Body.Visitor<Void> {
        private final String address;
        private final Message message;
        private final long nowMicros;

        BodyHandler(String address, Message message, long nowMicros) {
            this.address = address;
            this.message = message;
            this.nowMicros = nowMicros;
        }

        @Override
        public Void visitPing(Body.Ping body) {
            // a probe of an earlier incarnation at this address is not answered
            boolean isForThisIncarnation = body.target().equals(state.self().id());
            if (isForThisIncarnation) {
                sender.send(address, new Body.Ack(body.number()), nowMicros);
            }
            return null;
        }

        @Override
        public Void visitAck(Body.Ack body) {
            probes.onAck(body.number(), nowMicros);
            return null;
        }

        @Override
        public Void visitIndirectPing(Body.IndirectPing body) {
            probes.onIndirectPing(address, body, nowMicros);
            return null;
        }

        @Override
        public Void visitNack(Body.Nack body) {
            probes.onNack(body.number());
            return null;
        }

        @Override
        public Void visitGossip(Body.Gossip body) {
            return null; // dispatch() handles the updates of every message, whatever its body
        }

        @Override
        public Void visitViewRequest(Body.ViewRequest body) {
            viewExchange.onViewRequest(address, nowMicros);
            return null;
        }

        @Override
        public Void visitViewResponse(Body.ViewResponse body) {
            boolean isSendersView = body.view().id().equals(message.view());
            if (viewExchange.takesPrecedence(message, nowMicros) && isSendersView) {
                installer.install(body.view(), nowMicros);
            }
            return null;
        }

        @Override
        public Void visitJoinRequest(Body.JoinRequest body) {
            Member joiner = body.member();
            if (!state.isMember()) {
                bootstrap.onJoinRequest(joiner, nowMicros);
            } else if (state.view().indexOf(joiner.id()) >= 0) {
                sender.sendWithoutGossip(address, new Body.ViewResponse(state.view()), nowMicros);
            } else {
                receiveGossip(new GossipUpdate.Joining(joiner), nowMicros);
                // the reply tells the joiner that a cluster exists, so that it does not form a second cluster
                sender.sendWithoutGossip(address, new Body.Gossip(), nowMicros);
            }
            return null;
        }

        @Override
        public Void visitBootstrapRequest(Body.BootstrapRequest body) {
            bootstrapProtocol.onRequest(address, message.from(), body, nowMicros);
            return null;
        }

        @Override
        public Void visitBootstrapConsent(Body.BootstrapConsent body) {
            bootstrapProtocol.onConsent(body, nowMicros);
            return null;
        }
    }
}
