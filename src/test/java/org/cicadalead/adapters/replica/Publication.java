package org.cicadalead.adapters.replica;

import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.ProcessIdentifier;

/** A submitted publication whose outcome an operator awaits. */
record Publication(ProcessIdentifier writer, CommandIdentifier identifier, CompletableFuture<CommandOutcome> outcome) {}
