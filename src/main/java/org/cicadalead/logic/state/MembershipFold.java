package org.cicadalead.logic.state;

import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * Folds commands by which entry processes join and leave the membership. Stateless; safe for use by several threads.
 */
final class MembershipFold {
    private MembershipFold() {}

    static FoldResult apply(SharedState state, long offset, MembershipCommand command) {
        if (command instanceof MembershipCommand.Join join) {
            return join(state, offset, join);
        }
        return leave(state, offset, (MembershipCommand.Leave) command);
    }

    private static FoldResult join(SharedState state, long offset, MembershipCommand.Join join) {
        if (state.members().containsKey(join.process())) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The process has already joined");
        }
        Member member = new Member(join.process(), offset, join.zone(), join.peerAddress(), join.sponsor());
        return FoldResult.accepted(state.withMembers(state.members().plus(join.process(), member)), offset);
    }

    private static FoldResult leave(SharedState state, long offset, MembershipCommand.Leave leave) {
        Member member = state.members().get(leave.process());
        if (member == null || member.version() != leave.memberVersion()) {
            return FoldResult.rejected(state, ErrorKind.CONFLICT, "The process is not a member of that version");
        }
        return FoldResult.accepted(state.withMembers(state.members().minus(leave.process())), offset);
    }
}
