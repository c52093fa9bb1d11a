/** The command line: parses options, connects the adapters to the logic and runs one command. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.cli;
