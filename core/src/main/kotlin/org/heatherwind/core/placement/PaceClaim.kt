package org.heatherwind.core.placement

/** A request's claim to the router's share of a target that may be cold, from its choice until it is sent or ends. */
public class PaceClaim internal constructor(private val onGivenBack: () -> Unit) {
    private var isGivenBack = false

    /** Gives the share back; once is enough. */
    public fun giveBack() {
        if (!isGivenBack) onGivenBack()
        isGivenBack = true
    }
}
