"""What users declare: parts, bundle, checks and placement."""

from crowrudder_model.declared._bundle import (
    MOST_BUNDLE_BYTES,
    Bundle,
    BundleError,
    bundle_of,
    decode_bundle,
    digest_of,
    encode_bundle,
)
from crowrudder_model.declared._checks import Fault, faults_of, section_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import (
    Adapter,
    Customer,
    Model,
    Part,
    Service,
    Version,
)
from crowrudder_model.declared.placement import eligible, place

__all__ = (
    'MOST_BUNDLE_BYTES',
    'Adapter',
    'Bundle',
    'BundleError',
    'Customer',
    'Declaration',
    'Fault',
    'Model',
    'Part',
    'Service',
    'Version',
    'bundle_of',
    'decode_bundle',
    'digest_of',
    'eligible',
    'encode_bundle',
    'faults_of',
    'place',
    'section_of',
)
