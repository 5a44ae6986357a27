package org.heatherwind.core.escrow

/**
 * The tokens of a stored grant that may be used while updates of it are under way: never more than any value that the
 * store may hold for the grant, or may come to hold by an update whose outcome is unknown. Such an update may take
 * effect until a later one is confirmed, since each is conditional on the state of the store that it replaces.
 */
public class UsableGrant {
    private var storedTokens = 0L

    /** The grant that the update under way asks for; the largest value if there is none. */
    private var plannedTokens = Long.MAX_VALUE

    /** The least grant that updates with an unknown outcome may leave; the largest value if there are none. */
    private var uncertainTokens = Long.MAX_VALUE

    /** The tokens that may be used. */
    public val tokens: Long get() = minOf(storedTokens, plannedTokens, uncertainTokens)

    /** Whether another update, once confirmed, would make more of the stored grant usable. */
    public val isUncertain: Boolean get() = uncertainTokens < storedTokens

    /** Whether the store holds a grant, or may come to hold one. */
    public val isPossiblyHeld: Boolean get() = storedTokens != 0L || uncertainTokens != Long.MAX_VALUE

    /** Records that an update from the [stored] grant, as read, to the [planned] one is about to be sent. */
    public fun plan(stored: Long, planned: Long) {
        storedTokens = stored
        plannedTokens = planned
    }

    /** Records that the store confirmed the update that was planned last. Updates before it can take no more effect. */
    public fun confirm() {
        storedTokens = plannedTokens
        plannedTokens = Long.MAX_VALUE
        uncertainTokens = Long.MAX_VALUE
    }

    /** Records that the update that was planned last was not sent, or certainly had no effect. */
    public fun withdraw() {
        plannedTokens = Long.MAX_VALUE
    }

    /** Records that there was no response to the update that was planned last, which may take effect at any time. */
    public fun recordUnknown() {
        uncertainTokens = minOf(uncertainTokens, plannedTokens)
        plannedTokens = Long.MAX_VALUE
    }
}
