import type { RouteSpec, ServingConfig } from '@chervilseam/model';

const PORT_SUFFIX = /:\d+$/;

/** Finds a request's route by its host and the longest prefix of its path. */
export class RouteIndex {
  readonly #byHost = new Map<string, RouteSpec[]>();

  /** @param config - the configuration whose routes to index */
  constructor({ routes }: Pick<ServingConfig, 'routes'>) {
    routes.forEach((route) => {
      const host = route.host.toLowerCase();
      const known = this.#byHost.get(host);
      if (known) known.push(route);
      else this.#byHost.set(host, [route]);
    });
    this.#byHost.forEach((list) => {
      list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    });
  }

  /**
   * @param host - the request's host, with or without a port
   * @param path - the request's path, with or without a query
   * @returns the route, or `undefined` when none takes the request
   */
  match(host: string, path: string): RouteSpec | undefined {
    const name = host.toLowerCase().replace(PORT_SUFFIX, '');
    const queryAt = path.indexOf('?');
    const bare = queryAt < 0 ? path : path.slice(0, queryAt);
    return this.#byHost.get(name)?.find(({ pathPrefix }) => bare.startsWith(pathPrefix));
  }
}
