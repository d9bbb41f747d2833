import type { EngineStandIn } from '@chervilseam/stand-ins';

type EngineOptions = NonNullable<ConstructorParameters<typeof EngineStandIn>[0]>;

/** What engines and services of an embedded deployment have in common. */
interface EndpointOptions {
  readonly name: string;
  /** Index of its failure domain, from 0. */
  readonly domain: number;
  /** Maximum number of requests in flight at the endpoint; 16 by default. */
  readonly concurrencyMax?: number;
}

/** Instances, endpoints and settings of an embedded deployment. */
export interface DeploymentOptions {
  /** Number of instances; they are assigned to the failure domains in turn. */
  readonly instanceCount: number;
  /** Number of failure domains; 1 by default. */
  readonly domainCount?: number;
  readonly engines?: readonly (EndpointOptions & { readonly engine?: EngineOptions })[];
  readonly services?: readonly (EndpointOptions & { readonly service: string })[];
  /** Further configuration objects, such as models and policies, as TOML. */
  readonly configToml?: string;
  /**
   * Settings of every daemon, by section. A section given here replaces the embedded one as a whole,
   * except that `platform.logUrl` and `platform.instanceListUrl` always point at the stand-ins.
   */
  readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
  /** Delay until the instance list shows a change, in milliseconds; 0 by default. */
  readonly listLagMs?: number;
  /** Receives the daemons' log output, which is discarded by default. */
  readonly logStream?: NodeJS.WritableStream;
}
