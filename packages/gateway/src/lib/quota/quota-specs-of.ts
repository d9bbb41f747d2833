import type { QuotaSpec, ServingConfig } from '@chervilseam/model';

/**
 * @param config - a configuration
 * @returns quotas of its workspaces by their names, without workspaces that have none
 */
export function quotaSpecsOf({
  workspaces,
}: Pick<ServingConfig, 'workspaces'>): ReadonlyMap<string, QuotaSpec> {
  const entries = [...(workspaces?.values() ?? [])].flatMap(({ name, quota }) =>
    quota ? [[name, quota] as const] : [],
  );
  return new Map(entries);
}
