package org.heatherwind.router.entry

import org.heatherwind.core.identity.BudgetId
import org.heatherwind.core.identity.Digest

/** A caller's credentials: the budget to charge, and the digest of the API key that the caller sent. */
internal data class CallerCredentials(val budget: BudgetId, val keyDigest: Digest)
