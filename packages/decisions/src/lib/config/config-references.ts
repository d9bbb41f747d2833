type Body = Readonly<Record<string, unknown>>;

const referencesByKind: Readonly<Record<string, (body: Body) => readonly string[]>> = {
  adapter: (body) => [`model/${String(body.model)}`],
  endpoint: (body) => (body.service === undefined ? [] : [`service/${String(body.service)}`]),
};

/**
 * Lists the objects that a configuration object refers to and that must therefore exist.
 *
 * @param kind - kind of the object
 * @param body - body of the object
 * @returns keys of the other objects, as `kind/name`
 */
export function configReferences(kind: string, body: Body): readonly string[] {
  return Object.hasOwn(referencesByKind, kind) ? referencesByKind[kind](body) : [];
}
