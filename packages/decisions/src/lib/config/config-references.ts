type Body = Readonly<Record<string, unknown>>;

const referencesByKind: Readonly<Record<string, (body: Body) => readonly string[]>> = {
  adapter: (body) => [`model/${String(body.model)}`],
  endpoint: (body) => (body.service === undefined ? [] : [`service/${String(body.service)}`]),
};

/**
 * Lists what an object cannot stand without.
 *
 * @param kind - the object's kind
 * @param body - its body
 * @returns keys of other objects, as `kind/name`
 */
export function configReferences(kind: string, body: Body): readonly string[] {
  return Object.hasOwn(referencesByKind, kind) ? referencesByKind[kind](body) : [];
}
