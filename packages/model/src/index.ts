/**
 * Typed configuration objects, selectors, outcomes and errors. Performs no I/O.
 *
 * @packageDocumentation
 */
export { BlockBuffer } from './lib/block-buffer.js';
export { canonicalDigest } from './lib/canonical-digest.js';
export type { ConfigBody } from './lib/config-body.js';
export type { ConfigChange } from './lib/config-change.js';
export { ConfigKind } from './lib/config-kind.js';
export { configSchemas } from './lib/config-schemas.js';
export { keyDigestOf } from './lib/key-digest-of.js';
export { shownDigestOf } from './lib/shown-digest-of.js';
export { EventEndFinder } from './lib/event-end-finder.js';
export type { Finding } from './lib/finding.js';
export { formatFinding } from './lib/format-finding.js';
export { matchesSelector } from './lib/matches-selector.js';
export { closestName } from './lib/closest-name.js';
export { Outcome } from './lib/outcome.js';
export { parseConfig } from './lib/parse-config.js';
export { readBody } from './lib/read-body.js';
export { refusalCodes, type RefusalCode } from './lib/refusal-code.js';
export { RefusalError } from './lib/refusal-error.js';
export { sharedKeyFindings } from './lib/shared-key-findings.js';
export { schemaFindings } from './lib/schema-findings.js';
export type { Selector } from './lib/selector.js';
export { TomlSource } from './lib/toml-source.js';
export type { CallerLimits } from './lib/serving/caller-limits.js';
export type { EndpointRecord } from './lib/serving/endpoint-record.js';
export type { EngineSpec } from './lib/serving/engine-spec.js';
export { eraNumber } from './lib/serving/era-number.js';
export type { ModelSpec } from './lib/serving/model-spec.js';
export type { QuotaSpec } from './lib/serving/quota-spec.js';
export { QuotaUnit } from './lib/serving/quota-unit.js';
export type { RouteSpec } from './lib/serving/route-spec.js';
export type { ServiceSpec } from './lib/serving/service-spec.js';
export type { ServingConfig } from './lib/serving/serving-config.js';
export type { WorkspaceSpec } from './lib/serving/workspace-spec.js';
export { isSocketAddress } from './lib/is-socket-address.js';
