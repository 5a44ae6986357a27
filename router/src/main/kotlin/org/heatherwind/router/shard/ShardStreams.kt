package org.heatherwind.router.shard

/** Names of the log's streams. */
public object ShardStreams {
    /** The stream of configuration changes. */
    public const val CONFIGURATION: String = "configuration"

    /** The stream of ledger shard [shard]. */
    public fun ledger(shard: Int): String = "ledger-$shard"
}
