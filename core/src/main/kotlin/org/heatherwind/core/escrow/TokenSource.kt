package org.heatherwind.core.escrow

/** Where reserved tokens come from, and go back to. */
public interface TokenSource {
    /** Charges [tokens] of a reservation that were consumed. */
    public fun charge(tokens: Long)

    /** Gives up [tokens] of a reservation that were not consumed. */
    public fun release(tokens: Long)
}

/** Tokens that other routers lent to this one. The lenders charged them already, so they are not reported again. */
public class BorrowedTokens : TokenSource {
    /** Tokens that a new request may reserve. */
    public var availableTokens: Long = 0
        private set

    /** Adds [tokens] that another router lent. */
    public fun add(tokens: Long) {
        availableTokens += tokens
    }

    /** Reserves [tokens], or answers false when there are not enough. */
    public fun tryReserve(tokens: Long): Boolean {
        if (availableTokens < tokens) return false
        availableTokens -= tokens
        return true
    }

    override fun charge(tokens: Long): Unit = Unit

    override fun release(tokens: Long) {
        availableTokens += tokens
    }
}
