package org.heatherwind.gateway.serve

import org.heatherwind.core.result.ResultCode

/**
 * An answer of the router's own.
 *
 * @property retryAfterMilliseconds when the caller should come back, or null where coming back does not help
 */
internal data class Refusal(val code: ResultCode, val retryAfterMilliseconds: Long? = null)
