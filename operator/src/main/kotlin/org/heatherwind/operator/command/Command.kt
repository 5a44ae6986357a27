package org.heatherwind.operator.command

/** Exit codes of the command line. */
public enum class ExitCode(public val number: Int) {
    /** Everything asked for was done. */
    DONE(0),

    /** It was tried and did not succeed, or a check found faults. */
    FAILED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** A router could not be reached. */
    UNREACHABLE(3),
}

/** One verb of the command line. Its options are fields that args4j fills. */
public interface Command {
    /** What it does, in one line. */
    public val summary: String

    /** Does it. */
    public suspend fun run(): ExitCode
}
