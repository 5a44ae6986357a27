package org.heatherwind.gateway.state

import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.gateway.store.KeyedRecord

/** Passes the records of one partition to several [subscribers], in their order. */
internal class CombinedSubscriber(private val subscribers: List<StreamSubscriber>) : StreamSubscriber {
    override fun onSnapshot(records: List<KeyedRecord>): Unit = subscribers.forEach { it.onSnapshot(records) }

    override fun onRecords(records: List<KeyedRecord>): Unit = subscribers.forEach { it.onRecords(records) }

    override fun onCurrent(now: MonotonicTime, isReconnected: Boolean): Unit =
        subscribers.forEach { it.onCurrent(now, isReconnected) }

    override fun onRestored(now: MonotonicTime): Unit = subscribers.forEach { it.onRestored(now) }
}
