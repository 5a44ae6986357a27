package org.heatherwind.core.ledger

import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.Incarnation

/**
 * The records of one append. A writer numbers its batches from 1 and appends the next only after it has read the
 * previous one from the log, so [LedgerFold] recognises repeats by their [sequence].
 */
@Serializable
public data class LedgerBatch(val writer: Incarnation, val sequence: Long, val records: List<LedgerRecord>)
