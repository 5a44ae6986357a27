package org.heatherwind.core.ledger

import kotlinx.serialization.Serializable
import org.heatherwind.core.identity.Incarnation

/**
 * The records of one append. A writer numbers its batches from 1 and sends the next only after the last was
 * read back, so the fold can drop repeats by number.
 */
@Serializable
public data class LedgerBatch(val writer: Incarnation, val sequence: Long, val records: List<LedgerRecord>)
