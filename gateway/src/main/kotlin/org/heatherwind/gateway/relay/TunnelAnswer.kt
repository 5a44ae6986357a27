package org.heatherwind.gateway.relay

/**
 * A router's answer to the request to connect to a target. The request is a line with the target's address, the answer
 * a line with the name of one of these.
 */
internal enum class TunnelAnswer {
    /** The connection is established; what follows belongs to it. */
    OPEN,

    /** The host of the target refuses connections. */
    REFUSED,

    /** The target did not respond in time. */
    UNREACHED,

    /** The router does not connect: it is full, stops, is cut off itself, or does not know the target. */
    DECLINED,
    ;

    val line: String get() = "$name\n"

    companion object {
        /** Longer lines are no answers, and no addresses either. */
        const val MAXIMUM_LINE_BYTES = 128

        fun of(line: String): TunnelAnswer? = entries.firstOrNull { it.name == line }
    }
}
