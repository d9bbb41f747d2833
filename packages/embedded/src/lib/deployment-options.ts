import type { EngineStandIn } from '@chervilseam/stand-ins';

type EngineOptions = NonNullable<ConstructorParameters<typeof EngineStandIn>[0]>;

/** An endpoint of an embedded deployment. */
interface EndpointOptions {
  readonly name: string;
  /** Which failure domain, counted from 0. */
  readonly domain: number;
  readonly concurrencyMax?: number;
}

/** What an embedded deployment is made of. */
export interface DeploymentOptions {
  /** Instances, spread over the failure domains in turn; a count. */
  readonly instanceCount: number;
  /** Failure domains; a count. */
  readonly domainCount?: number;
  readonly engines?: readonly (EndpointOptions & { readonly engine?: EngineOptions })[];
  readonly services?: readonly (EndpointOptions & { readonly service: string })[];
  /** Further objects of the configuration, as TOML. */
  readonly configToml?: string;
  /** Further settings of each daemon, section by section. */
  readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
  /** How late the list of instances shows a change, in milliseconds. */
  readonly listLagMs?: number;
  /** Where the daemons' log records go; nowhere by default. */
  readonly logStream?: NodeJS.WritableStream;
}
