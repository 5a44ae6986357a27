package org.heatherwind.operator.command

/** Exit codes of the command line. */
public enum class ExitCode(public val number: Int) {
    /** The command succeeded. */
    DONE(0),

    /** The command failed, or a check found errors. */
    FAILED(1),

    /** The command line is invalid. */
    USAGE(2),

    /** A router did not respond, or responded with an error status. */
    UNREACHABLE(3),
}

/** One subcommand of the command line. args4j sets its options as fields. */
public interface Command {
    /** One-line description for the help text. */
    public val summary: String

    /** Runs the command after its options are set. */
    public suspend fun run(): ExitCode
}
