package org.heatherwind.core.identity

import kotlinx.serialization.Serializable

/** One process lifetime on an instance, written as `name@epochMilliseconds` with the start time of the process. */
@Serializable
@JvmInline
public value class Incarnation(public val value: String) {
    /** The instance on which the process runs. */
    public val instance: InstanceId get() = InstanceId(value.substringBeforeLast(SEPARATOR))

    /** The start time of the process, or the epoch if [value] does not contain it. */
    public val startedAt: Timestamp get() = Timestamp(value.substringAfterLast(SEPARATOR).toLongOrNull() ?: 0)

    override fun toString(): String = value

    public companion object {
        private const val SEPARATOR = '@'

        /** Returns the incarnation of [instance] that started at [startedAt]. */
        public fun of(instance: InstanceId, startedAt: Timestamp): Incarnation =
            Incarnation("${instance.value}$SEPARATOR${startedAt.epochMilliseconds}")
    }
}
