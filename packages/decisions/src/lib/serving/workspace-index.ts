import type { RouteSpec, WorkspaceSpec } from '@chervilseam/model';

/** Whether a caller may send a request, and the workspace that it belongs to. */
type Access =
  { readonly kind: 'granted'; readonly workspace?: WorkspaceSpec } | { readonly kind: 'denied' };

/** A key that two workspaces hold. */
interface SharedKey {
  readonly digest: string;
  /** Name of the workspace that the key belongs to. */
  readonly workspace: string;
  /** Name of the workspace that also lists it. */
  readonly other: string;
}

/** The workspaces of a configuration by the digests of their API keys. */
export class WorkspaceIndex {
  readonly #byDigest = new Map<string, WorkspaceSpec>();

  readonly #sharedKeys: SharedKey[] = [];

  /** @param workspaces - the workspaces; of two that hold the same key, the first one has it */
  constructor(workspaces: Iterable<WorkspaceSpec>) {
    [...workspaces].forEach((workspace) =>
      workspace.keyDigests.forEach((digest) => this.#add(digest, workspace)),
    );
  }

  /** Keys that more than one workspace holds. */
  get sharedKeys(): readonly SharedKey[] {
    return this.#sharedKeys;
  }

  /**
   * @param route - the route that a request matched
   * @param keyDigest - SHA-256 digest of the caller's API key, in hexadecimal; `undefined` without a key
   * @returns whether the request may be served; a public route needs no key
   */
  accessOf(route: Pick<RouteSpec, 'isPublic'>, keyDigest: string | undefined): Access {
    const workspace = keyDigest === undefined ? undefined : this.#byDigest.get(keyDigest);
    if (workspace || route.isPublic) return { kind: 'granted', workspace };
    return { kind: 'denied' };
  }

  #add(digest: string, workspace: WorkspaceSpec): void {
    const holder = this.#byDigest.get(digest);
    if (!holder) this.#byDigest.set(digest, workspace);
    else if (holder.name !== workspace.name) {
      this.#sharedKeys.push({ digest, workspace: holder.name, other: workspace.name });
    }
  }
}
