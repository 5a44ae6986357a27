package org.heatherwind.gateway.serve

import org.heatherwind.core.result.ResultCode

/**
 * An error response that the router itself generates.
 *
 * @property retryAfterMilliseconds when the caller should retry, or null where a retry does not help
 */
internal data class RouterError(val code: ResultCode, val retryAfterMilliseconds: Long? = null)
