/** The command line: parses options, wires the adapters to the logic and runs one command. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.cli;
