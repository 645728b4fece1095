"""The declared configuration: its parts, bundle, checks and placement."""

from crowrudder_model.declared._bundle import (
    MAX_BUNDLE_BYTES,
    Bundle,
    BundleError,
    bundle_of,
    decode_bundle,
    digest_of,
    encode_bundle,
)
from crowrudder_model.declared._checks import Fault, faults_of, section_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._delta import (
    BundleDelta,
    apply_delta,
    delta_between,
)
from crowrudder_model.declared._difference import Change, difference
from crowrudder_model.declared._files import ParsedDeclaration, read_files
from crowrudder_model.declared._parts import (
    Adapter,
    Customer,
    Model,
    Part,
    Service,
    Version,
)
from crowrudder_model.declared._publishing import publishing_faults
from crowrudder_model.declared._reference import reference_page
from crowrudder_model.declared._sections import ini_of
from crowrudder_model.declared.placement import eligible, place

__all__ = (
    'MAX_BUNDLE_BYTES',
    'Adapter',
    'Bundle',
    'BundleDelta',
    'BundleError',
    'Change',
    'Customer',
    'Declaration',
    'Fault',
    'Model',
    'Part',
    'ParsedDeclaration',
    'Service',
    'Version',
    'apply_delta',
    'bundle_of',
    'decode_bundle',
    'delta_between',
    'difference',
    'digest_of',
    'eligible',
    'encode_bundle',
    'faults_of',
    'ini_of',
    'place',
    'publishing_faults',
    'read_files',
    'reference_page',
    'section_of',
)
