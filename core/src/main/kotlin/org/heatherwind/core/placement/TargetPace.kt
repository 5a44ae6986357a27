package org.heatherwind.core.placement

import org.heatherwind.core.identity.InstanceId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.TargetId
import kotlin.math.floor
import kotlin.math.log2

/**
 * Limits the requests that a target gets from this router while it has just started or recovered. The limit opens by
 * how its answers compare with what was predicted, under the ceiling of a target that is cold. Confined to one thread.
 *
 * Routers that all learn of the return of a target take turns in their rendezvous order for it, until they have an
 * answer of their own: so many that they have work for a quarter of its slots at first, twice as much with each round
 * trip up to its slots, and then a quarter more with each. A router needs nothing from the others for that, and an
 * answer shows it what they have sent.
 */
public class TargetPace(private val target: TargetId, private var slots: () -> Int, private val sharing: PaceSharing) {
    private var cause: PaceCause? = null
    private var startsAt = MonotonicTime.distantPast
    private var window = SMALLEST_WINDOW
    private var hasAnswered = false
    private var ratioEstimate = LatencyRatioEstimate(RATIO_WEIGHT)
    private var isCold = false
    private var coldChangedAt = MonotonicTime.distantPast
    private var lastSentAt = MonotonicTime.distantPast
    private var claims = 0
    private var place: PacePlace? = null
    private var placeAmong: Set<InstanceId>? = null

    /** Whether the target's pace is limited at present. */
    public val isLimited: Boolean get() = cause != null

    /** Takes the target's slots from [slots] from now on, as the target has another entry. */
    internal fun useSlots(slots: () -> Int) {
        this.slots = slots
    }

    /** Whether the target is cold, and a request that is about to be sent has claimed this router's share of it. */
    internal val isClaimed: Boolean get() = isCold && claims > 0

    /**
     * Begins to find the pace for [cause]. No requests are sent before [startsAt]. What this router alone suspects
     * neither replaces a pace that all routers find nor begins one anew for each request that fails.
     */
    public fun begin(cause: PaceCause, startsAt: MonotonicTime) {
        val running = this.cause
        if (running != null && !cause.isCommon) {
            if (running == cause) this.startsAt = maxOf(this.startsAt, startsAt)
            return
        }
        this.cause = cause
        this.startsAt = startsAt
        val share = firstSenders.toDouble() / (currentPlace()?.routers ?: 1)
        window = if (cause.isCommon) share.coerceAtLeast(SMALLEST_WINDOW) else SMALLEST_WINDOW
        hasAnswered = false
        ratioEstimate = LatencyRatioEstimate(RATIO_WEIGHT)
        recordChange(PaceChange.Kind.BEGAN, startsAt)
    }

    /** Returns whether the target should get another request at [now], beside [inFlight] requests of this router. */
    public fun isOpen(inFlight: Int, now: MonotonicTime): Boolean {
        val cause = cause?.takeIf { sharing.isFleetLarge() } ?: return true
        val isTurn = !cause.isCommon || isCold || hasAnswered || isTurn(currentPlace()?.position ?: 0, now)
        val isOpen = isTurn && inFlight < floor(minOf(window, usefulWindow()))
        if (!isOpen) sharing.recordPassedOver()
        return isOpen
    }

    /**
     * Returns whether the target, which is cold until [coldUntil], may get a request at [now]. A request beyond this
     * is never sent.
     */
    public fun isWithinCeiling(coldUntil: MonotonicTime, now: MonotonicTime): Boolean {
        val isColdNow = now < coldUntil
        if (isColdNow != isCold) recordCold(isColdNow, now)
        if (!isColdNow) return true
        val ceiling = sharing.ceiling ?: return true
        if (!sharing.isKnownToOthers()) return false
        val interval = currentPlace()?.let { ceiling.intervalMilliseconds(it) } ?: return false
        return now.millisecondsSince(lastSentAt) >= interval
    }

    private fun recordCold(isColdNow: Boolean, now: MonotonicTime) {
        isCold = isColdNow
        // A target that states one thing and at once the other doesn't begin its pace anew each time.
        if (cause != null && now.millisecondsSince(coldChangedAt) < COLD_CHANGE_MILLISECONDS) return
        coldChangedAt = now
        // A router that has had answers while the target was cold knows its pace.
        when {
            isColdNow -> begin(PaceCause.COLD, now)
            !hasAnswered -> begin(PaceCause.COLD_ENDED, now)
        }
    }

    /** Claims this router's share of the target, should it be cold, for a request that is about to be sent. */
    public fun claim(): PaceClaim {
        claims++
        return PaceClaim { claims-- }
    }

    /** Records that a request was sent to the target at [now]. */
    public fun recordSent(now: MonotonicTime) {
        sharing.recordSent(now)
        lastSentAt = now
    }

    /**
     * Records at [now] that [request] was answered, with the first event after [actualMilliseconds], where
     * [predictedMilliseconds] were predicted at the target's speed.
     */
    public fun recordAnswer(
        request: InFlightRequest,
        actualMilliseconds: Double,
        now: MonotonicTime,
        predictedMilliseconds: Double = request.expectedMilliseconds,
    ) {
        sharing.recordRoundTrip(actualMilliseconds)
        if (cause == null || request.sentAt < startsAt) return
        hasAnswered = true
        ratioEstimate.observe(predictedMilliseconds, actualMilliseconds, now)
        val ratio = ratioEstimate.ratioAt(now)
        when {
            ratio <= USUAL_RATIO -> window += WINDOW_PER_ANSWER
            ratio <= SLOW_RATIO -> window += WINDOW_PER_LATE_ANSWER
            else -> window = (window / 2).coerceAtLeast(SMALLEST_WINDOW)
        }
        if (!isCold && window > usefulWindow() && areTurnsOver(now)) end(now)
    }

    /** Records a whole answer at [now], which ends a suspicion early. */
    public fun recordSuccess(now: MonotonicTime) {
        if (cause == PaceCause.SUSPICION_ENDED && now < startsAt) startsAt = now
    }

    /** Records at [now] that the target failed or refused a request. */
    public fun recordFailure(now: MonotonicTime) {
        if (cause == null || window == SMALLEST_WINDOW) return
        window = SMALLEST_WINDOW
        recordChange(PaceChange.Kind.CLOSED, now)
    }

    private fun end(now: MonotonicTime) {
        recordChange(PaceChange.Kind.ENDED, now)
        cause = null
    }

    /** Routers that send to the target at once when it returns. */
    private val firstSenders: Int get() = (slots() / FIRST_SENDERS_DIVISOR).coerceAtLeast(1)

    /** Returns whether the router at [position] may send its first request to the target at [now]. */
    private fun isTurn(position: Int, now: MonotonicTime): Boolean {
        val roundTrips = floor(now.millisecondsSince(startsAt) / sharing.roundTripMilliseconds).toInt()
        if (roundTrips < 0) return false
        val doublings = minOf(roundTrips, FULL_DOUBLINGS)
        val requestsAtOnce = (firstSenders shl doublings) + firstSenders * (roundTrips - doublings).toLong()
        // The others are assumed to have as much work as this router: the less it has, the less harm does an error.
        return position * sharing.requestsAtOnce(now) < requestsAtOnce
    }

    private fun areTurnsOver(now: MonotonicTime): Boolean =
        cause?.isCommon != true || isTurn((currentPlace()?.routers ?: 1) - 1, now)

    /** Returns the window beyond which the usual choice among targets limits the requests better. */
    private fun usefulWindow(): Double {
        val mean = slots().toDouble() / (currentPlace()?.routers ?: 1)
        return (mean * UNEVENNESS).coerceAtLeast(SMALLEST_USEFUL_WINDOW)
    }

    private fun currentPlace(): PacePlace? {
        val routers = sharing.knownRouters
        if (routers !== placeAmong) {
            place = routers?.let { sharing.placeOf(target, it) }
            placeAmong = routers
        }
        return place
    }

    private fun recordChange(kind: PaceChange.Kind, now: MonotonicTime) {
        val age = now.millisecondsSince(startsAt)
        val ratio = ratioEstimate.ratioAt(now)
        sharing.recordChange(PaceChange(kind, target, checkNotNull(cause), window, currentPlace(), ratio, age))
    }

    private companion object {
        const val SMALLEST_WINDOW = 1.0

        /** Room for the request that was answered, which may go on for long, and for one more. */
        const val WINDOW_PER_ANSWER = 2.0

        /** Neither in time nor slow may be how the target is from now on, so that it has to end some time. */
        const val WINDOW_PER_LATE_ANSWER = 0.5

        /** Statements closer to each other than this contradict each other: warming up takes longer. */
        const val COLD_CHANGE_MILLISECONDS = 1_000L

        /** Predictions are often wrong by up to this factor. */
        const val USUAL_RATIO = 2.0

        /** More than what a wrong prediction explains. */
        const val SLOW_RATIO = 3.0

        /** A few answers decide, since a router has few of a target that has just returned. */
        const val RATIO_WEIGHT = 0.5

        /** Leaves most slots free until there are answers. */
        const val FIRST_SENDERS_DIVISOR = 4

        /** After these doublings the target may get as many requests at once as it has slots. */
        val FULL_DOUBLINGS = log2(FIRST_SENDERS_DIVISOR.toDouble()).toInt()

        /** Some routers have several times the mean work. */
        const val UNEVENNESS = 2.0

        /** With more routers than slots, the target is full when each has one request there. */
        const val SMALLEST_USEFUL_WINDOW = 1.0
    }
}
