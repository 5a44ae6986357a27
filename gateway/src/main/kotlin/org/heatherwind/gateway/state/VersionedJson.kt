package org.heatherwind.gateway.state

import kotlinx.serialization.json.Json

/** Decodes what routers of other versions wrote; fields that later versions add are ignored. */
internal val versionedJson = Json { ignoreUnknownKeys = true }
